// Texts of exceptions, for logs.
#ifndef SRC_BASE_EXCEPTION_TEXT_H_
#define SRC_BASE_EXCEPTION_TEXT_H_

#include <exception>
#include <string>

namespace buckthorngate::base {

// Never empty, also for what is no std::exception. Null: "no exception".
std::string TextOf(const std::exception_ptr& failure);

}  // namespace buckthorngate::base

#endif  // SRC_BASE_EXCEPTION_TEXT_H_
