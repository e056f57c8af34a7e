// Leaves the endpoints of evacuated availability zones out of a mesh view.
//
// The unfiltered view remains the basis of the estimated number of daemons, of
// the version in use and of the endpoints' statistics, none of which an
// evacuation changes.
#ifndef SRC_REQUEST_EVACUATION_FILTER_H_
#define SRC_REQUEST_EVACUATION_FILTER_H_

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "request/mesh_view.h"

namespace buckthorngate::request {

class EvacuationFilter {
 public:
  using Services =
      std::unordered_map<std::string, std::shared_ptr<const ServiceView>>;

  // Returns `services` without the endpoints of these zones. A service that has
  // no others is left out. Reuses the results for services that are unchanged
  // since the previous call.
  Services Apply(const std::set<std::string>& zones, const Services& services);

 private:
  struct Filtered {
    std::shared_ptr<const ServiceView> from_;
    std::shared_ptr<const ServiceView> view_;
  };

  std::set<std::string> zones_;
  // Invariant: filtered by zones_.
  std::unordered_map<std::string, Filtered> filtered_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_EVACUATION_FILTER_H_
