// A fault in a file that an operator wrote, with its place.
#ifndef SRC_CONFIG_PROBLEM_H_
#define SRC_CONFIG_PROBLEM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "buckthorngate/result_code.h"

namespace buckthorngate::config {

struct Problem {
  ResultCode code_ = ResultCode::kOk;
  std::string file_;
  uint32_t line_ = 0;  // 1-based; 0: the file as a whole.
  std::string detail_;
};

using Problems = std::vector<Problem>;

// "file:line: number name: message (detail)".
std::string Format(const Problem& problem);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_PROBLEM_H_
