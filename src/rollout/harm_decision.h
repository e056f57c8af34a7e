// Reaction to harm by the new version, common to the policies that test for it.
#ifndef SRC_ROLLOUT_HARM_DECISION_H_
#define SRC_ROLLOUT_HARM_DECISION_H_

#include <optional>
#include <string>

#include "rollout/move_policy.h"

namespace buckthorngate::rollout {

// Returns the decision that rolls the move back to the old version.
MoveDecision MakeRollback(const std::string& reason);

// Returns the step to take if a harm test or the proxies' brakes found harm.
// Returns nothing but sets `hold_reason` if harm was found and the move can no
// longer be rolled back.
std::optional<MoveDecision> DecideOnHarm(const PolicyInput& input,
                                         std::string& hold_reason);

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_HARM_DECISION_H_
