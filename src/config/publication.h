// What a publication does to the configuration: the rules for versions and
// moves when operators publish in any state of a move.
#ifndef SRC_CONFIG_PUBLICATION_H_
#define SRC_CONFIG_PUBLICATION_H_

#include <string>

#include <tl/expected.hpp>

#include "base/time.h"
#include "config/config_state.h"

namespace buckthorngate::config {

struct Refusal {
  ResultCode code_ = ResultCode::kOk;
  std::string detail_;
};

// Whether the move has not ended.
bool InProgress(const rpc::Move& move);

// The version that serves a service while no move sends traffic elsewhere.
std::string VersionInForce(const rpc::ServiceState& state);

// Checks the publication against `state` and applies it whole; else `state`
// is unchanged. The revision is left to the caller. Deterministic: replicas
// that apply the same command reach the same result.
tl::expected<void, Refusal> ApplyPublication(
    const rpc::Publication& publication,
    base::WallTime proposed,
    ConfigState& state);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_PUBLICATION_H_
