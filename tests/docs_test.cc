// Checks that docs/ERRORS.md and docs/EVENTS.md match the tables in the code.
#define BOOST_TEST_MODULE docs
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "base/doc_tables.h"
#include "base/events.h"

namespace buckthorngate::tests {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream stream(std::string(BUCKTHORNGATE_DOCS) + "/" + name);
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

BOOST_AUTO_TEST_CASE(TheErrorsPageIsEqualToTheTable) {
  BOOST_TEST(ReadPage("ERRORS.md") == base::ErrorsPage());
}

BOOST_AUTO_TEST_CASE(TheEventsPageIsEqualToTheTable) {
  BOOST_TEST(ReadPage("EVENTS.md") == base::EventsPage());
}

BOOST_AUTO_TEST_CASE(EventsAreSortedAndUnique) {
  int last = 0;
  std::set<std::string> names;
  for (const base::EventInfo& info : base::EventTable()) {
    BOOST_TEST(static_cast<int>(info.id_) > last);
    last = static_cast<int>(info.id_);
    BOOST_TEST(names.insert(std::string(info.name_)).second);
    BOOST_TEST(base::DescribeEvent(info.id_).name_ == info.name_);
  }
}

}  // namespace
}  // namespace buckthorngate::tests
