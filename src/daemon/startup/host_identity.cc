// Loads or creates a control host's identity.
#include "daemon/startup/host_identity.h"

#include <algorithm>
#include <random>
#include <vector>

#include "base/events.h"
#include "membership/node_id.h"
#include "storage/file_journal.h"

namespace buckthorngate::daemon::startup {
namespace {

constexpr char kIdentityFile[] = "/identity.journal";

bool IsFirstVoter(const Settings& settings) {
  return settings.first_start_ &&
         std::find(settings.seeds_.begin(), settings.seeds_.end(),
                   settings.control_address_) != settings.seeds_.end();
}

rpc::Bootstrap CreateIdentity(const Settings& settings) {
  rpc::Bootstrap chosen;
  if (!IsFirstVoter(settings)) {
    std::random_device device;
    const uint64_t salt = (uint64_t{device()} << 32) | device();
    chosen.set_id(membership::FreshHostId(settings.control_address_, salt));
    return chosen;
  }
  chosen.set_id(settings.control_address_);
  for (const std::string& seed : settings.seeds_) {
    rpc::Member& member = *chosen.mutable_membership()->add_members();
    member.set_id(membership::NodeId(membership::kSourceRole, seed));
    member.set_address(seed);
  }
  return chosen;
}

}  // namespace

tl::expected<HostIdentity, ResultCode> LoadHostIdentity(
    const Settings& settings) {
  storage::FileJournal journal(settings.data_folder_ + kIdentityFile);
  const tl::expected<std::vector<rpc::JournalRecord>, ResultCode> records =
      journal.Load();
  if (!records) {
    return tl::unexpected(records.error());
  }
  for (const rpc::JournalRecord& record : *records) {
    if (record.has_bootstrap()) {
      return HostIdentity{record.bootstrap().id(),
                          record.bootstrap().membership()};
    }
  }
  rpc::JournalRecord record;
  *record.mutable_bootstrap() = CreateIdentity(settings);
  ResultCode code = journal.Append(record);
  if (code == ResultCode::kOk) {
    code = journal.Sync();
  }
  if (code != ResultCode::kOk) {
    return tl::unexpected(code);
  }
  base::LogEvent(base::EventId::kIdentityChosen,
                 {{"identity", record.bootstrap().id()},
                  {"first_start", settings.first_start_ ? "true" : "false"}});
  return HostIdentity{record.bootstrap().id(), record.bootstrap().membership()};
}

}  // namespace buckthorngate::daemon::startup
