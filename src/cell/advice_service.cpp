#include "cell/advice_service.h"

#include "cell/messages.h"
#include "wire/codec.h"

namespace parsleyline::cell {

void RegisterAdvice(transport::RpcServer& server, AdvisorPort& advisor) {
  server.RegisterHandler(kAdviseMethod, [&advisor](const transport::RpcRequest& call,
                                                   const transport::RpcResponseCallback& reply) {
    const auto query = wire::Decode<dispatch::AdvisorQuery>(call.body);
    if (!query) return reply(tl::make_unexpected(query.error()));
    advisor.Ask(*query,
                [reply](const dispatch::AdvisorReply& answer) { reply(wire::Encode(answer)); });
  });
}

}  // namespace parsleyline::cell
