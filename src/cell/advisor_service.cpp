#include "cell/advisor_service.h"

#include "cell/messages.h"
#include "wire/codec.h"

namespace parsleyline::cell {

void RegisterAdvisorMethod(transport::RpcServer& server, AdvisorClient& advisor) {
  server.Handle(kQueryAdvisorMethod,
                [&advisor](const transport::RpcRequest& call, const transport::RpcReply& reply) {
                  const auto query = wire::Decode<dispatch::AdvisorQuery>(call.body);
                  if (!query) return reply(tl::make_unexpected(query.error()));
                  advisor.Query(*query, [reply](const dispatch::AdvisorReply& answer) {
                    reply(wire::Encode(answer));
                  });
                });
}

}  // namespace parsleyline::cell
