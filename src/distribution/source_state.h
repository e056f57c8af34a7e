// Replicated state machine of the sources: configuration, publication outcomes
// and audit trail, built from committed log entries.
#ifndef SRC_DISTRIBUTION_SOURCE_STATE_H_
#define SRC_DISTRIBUTION_SOURCE_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "config/config_state.h"
#include "mesh.pb.h"

namespace buckthorngate::distribution {

// Bounds on retained records; the oldest are dropped first.
inline constexpr size_t kMaxAuditRecords = 20'000;
inline constexpr size_t kMaxOutcomes = 20'000;
inline constexpr size_t kMaxDeltas = 512;

// Outcome of an operator's command.
struct CommandOutcome {
  ResultCode code_ = ResultCode::kOk;
  uint64_t revision_ = 0;
  std::string detail_;
};

// Effects of applying one committed entry.
struct ApplyResult {
  // Set for a publication: its outcome, and the detail of a refusal.
  std::optional<rpc::PublicationOutcome> outcome_;
  std::string detail_;
  // Set for a publication of mesh routes and for a move order, respectively.
  std::optional<CommandOutcome> routing_;
  std::optional<CommandOutcome> order_;
  // Set for an order to evacuate a zone: its outcome.
  std::optional<CommandOutcome> evacuation_;
  // Set if a step of a move was applied: the move after that step.
  std::optional<rpc::Move> move_;
  bool config_changed_ = false;
};

// Deterministic: replicas that apply the same entries reach the same state.
class SourceState {
 public:
  ApplyResult Apply(const rpc::LogEntry& entry);

  // Serializes the state for a log snapshot.
  std::string Save() const;
  // Returns false, without a change, if `bytes` is not a serialized state.
  bool Restore(const std::string& bytes);

  const config::ConfigState& Config() const { return config_; }
  const config::DeltaWindow& Deltas() const { return deltas_; }
  const std::deque<rpc::AuditRecord>& Audit() const { return audit_; }
  uint64_t AppliedIndex() const { return applied_index_; }
  // Highest publication number accepted so far.
  uint64_t HighestNumber() const { return highest_number_; }

  // Outcome of the accepted publication with this number, or null.
  const rpc::PublicationOutcome* FindOutcome(uint64_t number) const;

  // The text of the mesh routes, exactly as it was published.
  const std::string& RoutingDocument() const { return routing_document_; }
  // Outcome of an accepted publication of routes, or null. `digest` covers its
  // text and base number.
  const rpc::RoutingOutcome* FindRoutingOutcome(uint64_t digest) const;

  // Checks number and digest of `publication`, not its content. Returns kOk,
  // also for a resent accepted publication, kNumberConflict, kNumberStale or
  // kDigestMismatch.
  ResultCode CheckNumber(const rpc::Publication& publication) const;

 private:
  void ApplyPublish(const rpc::PublishCommand& command,
                    uint64_t index,
                    ApplyResult& applied);
  void ApplyRouting(const rpc::RoutingCommand& command,
                    uint64_t index,
                    ApplyResult& applied);
  void StoreRoutingOutcome(const rpc::RoutingOutcome& outcome);
  void ApplyMoveOrder(const rpc::MoveOrder& order,
                      uint64_t index,
                      ApplyResult& applied);
  // source_evacuation.cc
  void ApplyEvacuation(const rpc::EvacuationOrder& order,
                       uint64_t index,
                       ApplyResult& applied);
  void ApplyMoveStep(const rpc::MoveStep& step,
                     uint64_t index,
                     ApplyResult& applied);
  void ApplyClaimGroup(const rpc::ClaimGroupChange& change,
                       uint64_t index,
                       ApplyResult& applied);
  // Makes `next` the current configuration, with the revision `index`.
  void Commit(config::ConfigState next, uint64_t index, ApplyResult& applied);
  void AddAudit(rpc::AuditRecord record);

  config::ConfigState config_;
  config::DeltaWindow deltas_{kMaxDeltas};
  std::map<uint64_t, rpc::PublicationOutcome> outcomes_;
  // Highest number accepted. Lower numbers that are not in outcomes_ are stale;
  // their outcomes may have been trimmed.
  uint64_t highest_number_ = 0;
  std::string routing_document_;
  std::map<uint64_t, rpc::RoutingOutcome> routing_outcomes_;  // By digest.
  std::deque<uint64_t> routing_digests_;                      // Oldest first.
  std::deque<rpc::AuditRecord> audit_;
  uint64_t applied_index_ = 0;
};

}  // namespace buckthorngate::distribution

#endif  // SRC_DISTRIBUTION_SOURCE_STATE_H_
