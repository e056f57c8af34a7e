// The pages docs/ERRORS.md and docs/EVENTS.md, made from the tables in code.
#ifndef SRC_BASE_DOC_TABLES_H_
#define SRC_BASE_DOC_TABLES_H_

#include <string>

namespace buckthorngate::base {

std::string ErrorsPage();
std::string EventsPage();

}  // namespace buckthorngate::base

#endif  // SRC_BASE_DOC_TABLES_H_
