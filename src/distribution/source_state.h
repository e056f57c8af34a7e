// State machine of the sources: what the committed log adds up to.
#ifndef SRC_DISTRIBUTION_SOURCE_STATE_H_
#define SRC_DISTRIBUTION_SOURCE_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "config/config_state.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

// Bounds of what is kept.
inline constexpr size_t kMaxAuditRecords = 20'000;
inline constexpr size_t kMaxOutcomes = 20'000;
inline constexpr size_t kMaxDeltas = 512;

// What an operator's command got.
struct CommandOutcome {
  ResultCode code_ = ResultCode::kOk;
  uint64_t revision_ = 0;
  std::string detail_;
};

// What one committed entry changed.
struct Applied {
  // Set for a publication: its outcome and the refusal's detail.
  std::optional<rpc::PublicationOutcome> outcome_;
  std::string detail_;
  // Set for routes of the mesh and for a move order.
  std::optional<CommandOutcome> routing_;
  std::optional<CommandOutcome> order_;
  // Set for a move whose step applied.
  std::optional<rpc::Move> move_;
  bool config_changed_ = false;
};

// Deterministic: replicas that apply the same entries hold the same state.
class SourceState {
 public:
  Applied Apply(const rpc::LogEntry& entry);

  std::string Save() const;
  // False if the bytes are not a state.
  bool Restore(const std::string& bytes);

  const config::ConfigState& Config() const { return config_; }
  const config::DeltaWindow& Deltas() const { return deltas_; }
  const std::deque<rpc::AuditRecord>& Audit() const { return audit_; }
  uint64_t AppliedIndex() const { return applied_index_; }
  // Of publications.
  uint64_t HighestNumber() const { return highest_number_; }

  // What an earlier publication with this number got; null if there is none.
  const rpc::PublicationOutcome* FindOutcome(uint64_t number) const;

  // The text of the routes of the mesh, as it was published.
  const std::string& RoutingDocument() const { return routing_document_; }
  // What an earlier, accepted publication of routes got; `digest` is that of
  // its text and base.
  const rpc::RoutingOutcome* FindRouting(uint64_t digest) const;

  // The outcome that `publication` would have now, apart from its content.
  // kOk, kNumberConflict, kNumberStale or kDigestMismatch.
  ResultCode CheckNumber(const rpc::Publication& publication) const;

 private:
  void ApplyPublish(const rpc::PublishCommand& command,
                    uint64_t index,
                    Applied& applied);
  void ApplyRouting(const rpc::RoutingCommand& command,
                    uint64_t index,
                    Applied& applied);
  void RememberRouting(const rpc::RoutingOutcome& outcome);
  void ApplyMoveOrder(const rpc::MoveOrder& order,
                      uint64_t index,
                      Applied& applied);
  void ApplyMoveStep(const rpc::MoveStep& step,
                     uint64_t index,
                     Applied& applied);
  void ApplyClaimGroup(const rpc::ClaimGroupChange& change,
                       uint64_t index,
                       Applied& applied);
  // Gives `next` the revision `index` and makes it current.
  void Commit(config::ConfigState next, uint64_t index, Applied& applied);
  void AddAudit(rpc::AuditRecord record);

  config::ConfigState config_;
  config::DeltaWindow deltas_{kMaxDeltas};
  std::map<uint64_t, rpc::PublicationOutcome> outcomes_;
  // Highest number accepted or trimmed; lower unknown numbers are stale.
  uint64_t highest_number_ = 0;
  std::string routing_document_;
  std::map<uint64_t, rpc::RoutingOutcome> routings_;  // By digest.
  std::deque<uint64_t> routing_order_;                // Oldest first.
  std::deque<rpc::AuditRecord> audit_;
  uint64_t applied_index_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_SOURCE_STATE_H_
