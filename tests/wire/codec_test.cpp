#include "wire/codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

#include "tests/wire/allocation_count.h"
#include "tests/wire/arbitrary_message.h"

namespace parsleyline::wire {
namespace {

// Runs a check for every message type of src/wire with a codec.
template <template <typename> class Check>
void ForEachMessage() {
  Check<Submit>::Run("Submit");
  Check<RequestStatus>::Run("RequestStatus");
  Check<FinishTask>::Run("FinishTask");
  Check<AnnounceBatch>::Run("AnnounceBatch");
  Check<AnnounceReply>::Run("AnnounceReply");
  Check<RequestRef>::Run("RequestRef");
  Check<EntryHeartbeat>::Run("EntryHeartbeat");
  Check<EntryHeartbeatReply>::Run("EntryHeartbeatReply");
  Check<WorkerList>::Run("WorkerList");
  Check<SetWorkerState>::Run("SetWorkerState");
  Check<QueueList>::Run("QueueList");
  Check<SchedulerStatus>::Run("SchedulerStatus");
  Check<SettingsEdit>::Run("SettingsEdit");
  Check<SettingsEditReply>::Run("SettingsEditReply");
  Check<SettingsWatch>::Run("SettingsWatch");
  Check<SettingsSnapshot>::Run("SettingsSnapshot");
  Check<SettingsHistoryQuery>::Run("SettingsHistoryQuery");
  Check<SettingsHistory>::Run("SettingsHistory");
  Check<Empty>::Run("Empty");
  Check<ForwardedRequest>::Run("ForwardedRequest");
  Check<ForwardedResponse>::Run("ForwardedResponse");
}

// Returns how many bytes decoding may allocate. For each byte of input, there may be a MessagePack
// object of 24 bytes and an element of the largest message type of about 200 bytes. The constant
// covers the first block of a MessagePack zone.
std::size_t AllocationBound(std::size_t input_bytes) { return 512 * input_bytes + 16384; }

template <typename Property>
void CheckProperty(const char* name, Property&& property) {
  CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, std::forward<Property>(property)));
}

template <typename Message>
struct RoundTrip {
  static void Run(const char* name) {
    CheckProperty(name, [] {
      Message message = Arbitrary<Message>();
      auto decoded = Decode<Message>(Encode(message));
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(Same(message, *decoded));
    });
  }
};

template <typename Message>
struct Truncated {
  static void Run(const char* name) {
    CheckProperty(name, [] {
      const std::string bytes = Encode(Arbitrary<Message>());
      const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
      const auto decoded = Decode<Message>(std::string_view(bytes).substr(0, size));
      RC_ASSERT(!decoded.has_value());
      RC_ASSERT(decoded.error().code == ResultCode::kMalformedMessage);
    });
  }
};

template <typename Message>
struct Trailing {
  static void Run(const char* name) {
    CheckProperty(name, [] {
      const std::string bytes = Encode(Arbitrary<Message>());
      const auto tail = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
      RC_ASSERT(!Decode<Message>(bytes + tail).has_value());
    });
  }
};

// A mutated message is rejected or decoded to another message, without a crash and without
// allocating more than the bound.
template <typename Message>
struct Mutated {
  static void Run(const char* name) {
    CheckProperty(name, [] {
      std::string bytes = Encode(Arbitrary<Message>());
      const auto changes = *rc::gen::inRange(1, 6);
      for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
      }
      ResetAllocatedBytes();
      const auto decoded = Decode<Message>(bytes);
      RC_ASSERT(AllocatedBytes() <= AllocationBound(bytes.size()));
      if (!decoded) RC_ASSERT(decoded.error().code == ResultCode::kMalformedMessage);
    });
  }
};

template <typename Message>
struct RandomBytes {
  static void Run(const char* name) {
    CheckProperty(name, [] {
      const auto bytes = *rc::gen::arbitrary<std::string>();
      const auto decoded = Decode<Message>(bytes);
      if (!decoded) RC_ASSERT(decoded.error().code == ResultCode::kMalformedMessage);
    });
  }
};

}  // namespace

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(RoundTrip_EveryMessage_IsEqual);
  CPPUNIT_TEST(Decode_TruncatedMessage_IsRejected);
  CPPUNIT_TEST(Decode_TrailingBytes_AreRejected);
  CPPUNIT_TEST(Decode_MutatedMessage_StaysWithinBounds);
  CPPUNIT_TEST(Decode_RandomBytes_DoNotCrash);
  CPPUNIT_TEST(Decode_HugeLengths_AreRejectedWithoutAllocation);
  CPPUNIT_TEST(Decode_DeepNesting_IsRejected);
  CPPUNIT_TEST(Decode_EnumeratorOutOfRange_IsRejected);
  CPPUNIT_TEST(Decode_IntegerOutOfRange_IsRejected);
  CPPUNIT_TEST(Decode_MembersMissingAtEnd_KeepDefaults);
  CPPUNIT_TEST(Decode_MembersAddedAtEnd_AreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    // The seed is fixed unless the environment sets one.
    ::setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);
  }

  void RoundTrip_EveryMessage_IsEqual() { ForEachMessage<RoundTrip>(); }
  void Decode_TruncatedMessage_IsRejected() { ForEachMessage<Truncated>(); }
  void Decode_TrailingBytes_AreRejected() { ForEachMessage<Trailing>(); }
  void Decode_MutatedMessage_StaysWithinBounds() { ForEachMessage<Mutated>(); }
  void Decode_RandomBytes_DoNotCrash() { ForEachMessage<RandomBytes>(); }

  // Guards against allocating memory for a length that exceeds the input.
  void Decode_HugeLengths_AreRejectedWithoutAllocation() {
    const std::string array32("\xdd\xff\xff\xff\xff", 5);
    const std::string array32_within_limit("\xdd\x00\x0f\xff\xff", 5);
    const std::string bin32("\x91\xc6\x03\xff\xff\xff", 6);
    const std::string map32("\xdf\x00\x0f\xff\xff", 5);
    std::string nested_arrays;
    for (int i = 0; i < 20; ++i) nested_arrays += array32_within_limit;
    const std::string many_claims = nested_arrays + std::string(50000, '\0');
    for (const std::string& bytes :
         {array32, array32_within_limit, bin32, map32, nested_arrays, many_claims}) {
      ResetAllocatedBytes();
      CPPUNIT_ASSERT(!Decode<AnnounceBatch>(bytes));
      CPPUNIT_ASSERT(AllocatedBytes() <= AllocationBound(bytes.size()));
    }
  }

  void Decode_DeepNesting_IsRejected() {
    CPPUNIT_ASSERT(!Decode<AnnounceBatch>(std::string(100000, '\x91')));
  }

  // Guards against accepting a kind without an entry in the tables of kinds, which would throw when
  // the message is used.
  void Decode_EnumeratorOutOfRange_IsRejected() {
    RequestSpec spec;
    spec.kind = static_cast<Kind>(3);
    const auto decoded = Decode<Submit>(Encode(Submit{.spec = spec}));
    CPPUNIT_ASSERT(!decoded);
    CPPUNIT_ASSERT(decoded.error().code == ResultCode::kMalformedMessage);
  }

  // Guards against an integer that is cut off to the size of its member.
  void Decode_IntegerOutOfRange_IsRejected() {
    const std::string above_32_bits("\x92\x90\xcf\x00\x00\x00\x01\x00\x00\x00\x01", 11);
    const std::string negative("\x92\x90\xff", 3);
    const std::string floating("\x92\x90\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00", 11);
    for (const std::string& it : {above_32_bits, negative, floating}) {
      CPPUNIT_ASSERT(!Decode<EntryHeartbeatReply>(it).has_value());
    }
    CPPUNIT_ASSERT(Decode<EntryHeartbeatReply>(std::string("\x92\x90\x07", 3)).has_value());
  }

  // Guards against rejecting messages of older processes during an upgrade.
  void Decode_MembersMissingAtEnd_KeepDefaults() {
    const std::string only_first("\x91\xc4\x01w", 4);
    const auto state = Decode<SetWorkerState>(only_first);
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("w"), state->worker.value());
    CPPUNIT_ASSERT(state->state == WorkerState::kDraining);
  }

  void Decode_MembersAddedAtEnd_AreIgnored() {
    const std::string with_more("\x93\xc4\x01w\x00\xc0", 6);
    const auto state = Decode<SetWorkerState>(with_more);
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT(state->state == WorkerState::kReady);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace parsleyline::wire
