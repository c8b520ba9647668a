#include "config_tree/tree_state.h"

#include "wire/codec_impl.h"

PARSLEYLINE_INSTANTIATE_CODEC(parsleyline::config_tree::TreeState);
