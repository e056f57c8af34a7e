// Moves that are ordered by target and duration, outside of a publication.
#ifndef SRC_CONFIG_MOVE_ORDER_H_
#define SRC_CONFIG_MOVE_ORDER_H_

#include <chrono>

#include <tl/expected.hpp>

#include "config/config_state.h"
#include "config/publication.h"
#include "mesh.pb.h"

namespace buckthorngate::config {

// An order for the same target that comes within this time after the deadline
// of the earlier one is that order, sent again.
inline constexpr std::chrono::seconds kOrderResendWindow{10};

// Starts the move in `state`, or leaves it if the order was accepted before.
// The revision is left to the caller. Errors: kMoveInProgress (to another
// version), kNoEndpoint (nothing to move from), kConflictingOptions (the
// target is in force), kUnknownVersion. Deterministic.
tl::expected<void, Refusal> ApplyMoveOrder(const rpc::MoveOrder& order,
                                           ConfigState& state);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_MOVE_ORDER_H_
