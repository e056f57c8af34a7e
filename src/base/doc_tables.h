// Generates the pages docs/ERRORS.md and docs/EVENTS.md from the tables in the
// code.
#ifndef SRC_BASE_DOC_TABLES_H_
#define SRC_BASE_DOC_TABLES_H_

#include <string>

namespace buckthorngate::base {

// Contents of docs/ERRORS.md: all result codes.
std::string ErrorsPage();
// Contents of docs/EVENTS.md: all log events.
std::string EventsPage();

}  // namespace buckthorngate::base

#endif  // SRC_BASE_DOC_TABLES_H_
