// Texts of exceptions.
#include "base/exception_text.h"

namespace buckthorngate::base {

std::string TextOf(const std::exception_ptr& failure) {
  if (failure == nullptr) {
    return "no exception";
  }
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& exception) {
    const std::string text = exception.what();
    return text.empty() ? "exception without a text" : text;
  } catch (...) {
    return "unknown exception";
  }
}

}  // namespace buckthorngate::base
