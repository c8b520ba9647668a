#include "cell/advisor_service.h"

#include "cell/messages.h"
#include "wire/codec.h"

namespace parsleyline::cell {

void RegisterAdvisorMethod(transport::RpcServer& server, AdvisorClient& advisor) {
  server.RegisterHandler(
      kQueryAdvisorMethod,
      [&advisor](const transport::RpcRequest& call, const transport::RpcResponseCallback& respond) {
        const auto query = wire::Decode<dispatch::AdvisorQuery>(call.body);
        if (!query) return respond(tl::make_unexpected(query.error()));
        advisor.Query(*query, [respond](const dispatch::AdvisorReply& reply) {
          respond(wire::Encode(reply));
        });
      });
}

}  // namespace parsleyline::cell
