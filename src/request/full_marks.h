// Which endpoints have just refused a request of a kind for lack of room, as
// known to one entry whose destinations decide by value per unit of work. A
// refusal there says nothing about requests of other kinds.
#ifndef SRC_REQUEST_FULL_MARKS_H_
#define SRC_REQUEST_FULL_MARKS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace buckthorngate::request {

// Not safe for concurrent use.
class FullMarks {
 public:
  // An endpoint has refused a request of the kind and expects room after
  // `room`; zero without a forecast.
  void Mark(const std::string& kind,
            const std::string& endpoint,
            base::Duration room,
            base::MonoTime now);
  // Adds the endpoints to `excluded` that get no requests of the kind at
  // present. Returns whether there are any.
  bool Exclude(const std::string& kind,
               base::MonoTime now,
               std::vector<std::string>& excluded);
  // Time until one of the endpoints that are excluded for the kind expects to
  // have room; zero if there is none.
  base::Duration Room(const std::string& kind, base::MonoTime now) const;

 private:
  struct Place {
    base::MonoTime until_;  // Until then it gets none.
    base::MonoTime room_;   // When it expects to have room.
  };
  // By kind and endpoint.
  std::map<std::pair<std::string, std::string>, Place> marks_;
};

}  // namespace buckthorngate::request

#endif  // SRC_REQUEST_FULL_MARKS_H_
