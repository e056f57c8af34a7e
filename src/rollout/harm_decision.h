// What harm by the new version leads to, whatever the policy.
#ifndef SRC_ROLLOUT_HARM_DECISION_H_
#define SRC_ROLLOUT_HARM_DECISION_H_

#include <optional>
#include <string>

#include "rollout/move_policy.h"

namespace buckthorngate::rollout {

MoveDecision TakeBack(const std::string& reason);

// The step that harm asks for, if any was found. Nothing with a reason in
// `hold_reason`: harm was found and there is no way back from it.
std::optional<MoveDecision> DecideOnHarm(const MoveView& view,
                                         std::string& hold_reason);

}  // namespace buckthorngate::rollout

#endif  // SRC_ROLLOUT_HARM_DECISION_H_
