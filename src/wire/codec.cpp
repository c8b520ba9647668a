#include "wire/codec.h"

#include "wire/codec_impl.h"
#include "wire/messages.h"

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::Submit);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::RequestStatus);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::FinishTask);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::AnnounceBatch);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::AnnounceReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::RequestRef);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::EntryHeartbeat);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::EntryHeartbeatReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::WorkerList);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SetWorkerState);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::QueueList);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SchedulerStatus);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SettingsEdit);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SettingsEditReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SettingsWatch);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SettingsSnapshot);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SettingsHistoryQuery);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::SettingsHistory);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::Empty);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::ForwardedRequest);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::wire::ForwardedResponse);
