#include "raft/raft_types.h"
#include "wire/codec_impl.h"

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::raft::Message);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::raft::Entry);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::raft::Configuration);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::raft::HardState);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::raft::Snapshot);
PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::raft::ReplicaId);
