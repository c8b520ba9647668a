#include "cell/messages.h"

#include "wire/codec_impl.h"

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::JobCall);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::JobAnswer);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::Presence);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::CellView);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::Leave);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::Done);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::ConfigQuery);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::ConfigAnswer);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::cell::RaftEnvelope);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::dispatch::AdvisorQuery);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::dispatch::AdvisorReply);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::job::WorkerReport);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::job::CellConfig);
