// Options and journals of a control host's nodes.
#include "daemon/control/node_options.h"

#include "base/hash.h"
#include "storage/file_journal.h"

namespace buckthorngate::daemon::control {

distribution::SourceOptions MakeSourceOptions(
    const startup::Settings& settings,
    const rpc::Membership& first_members,
    uint64_t incarnation) {
  distribution::SourceOptions options;
  options.id_ = settings.source_id_;
  options.seed_ = incarnation ^ base::Hash(settings.source_id_);
  options.seeds_ = settings.seeds_;
  options.address_ = settings.control_address_;
  options.zone_ = settings.zone_;
  options.zones_ = settings.zones_;
  options.tolerated_losses_ = settings.tolerated_losses_;
  options.members_ = first_members;
  for (const auto& [id, address] : settings.sources_) {
    rpc::Member& member = *options.members_.add_members();
    member.set_id(id);
    member.set_address(address);
    member.set_learner(id == settings.source_id_ && settings.source_joins_);
  }
  return options;
}

distribution::RelayOptions MakeRelayOptions(const startup::Settings& settings,
                                            uint64_t incarnation) {
  distribution::RelayOptions options;
  options.id_ = settings.relay_id_;
  options.zone_ = settings.zone_;
  options.incarnation_ = incarnation;
  options.seed_ = incarnation ^ base::Hash(settings.relay_id_);
  options.seeds_ = settings.seeds_;
  for (const auto& [id, address] : settings.sources_) {
    options.sources_.push_back(id);
  }
  for (const auto& [id, relay] : settings.relays_) {
    if (id != settings.relay_id_) {
      options.relays_.push_back(id);
    }
  }
  return options;
}

std::unique_ptr<storage::TimedJournal> MakeJournal(
    const std::string& name,
    const startup::Settings& settings) {
  return std::make_unique<storage::TimedJournal>(
      name, std::make_unique<storage::FileJournal>(settings.data_folder_ + "/" +
                                                   name + ".journal"));
}

}  // namespace buckthorngate::daemon::control
