#include "cell/messages.h"

#include "wire/codec_impl.h"

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::LeaderCall);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::JobCall);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::JobReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::Heartbeat);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::HeartbeatReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::DeregisterWorker);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::StatusReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::ConfigQuery);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::ConfigReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::RaftEnvelope);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::dispatch::AdvisorQuery);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::dispatch::AdvisorReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::job::WorkerReport);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::job::CellConfig);
