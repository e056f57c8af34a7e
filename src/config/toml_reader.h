// Checked reading of TOML tables: types, ranges and unknown keys.
#ifndef SRC_CONFIG_TOML_READER_H_
#define SRC_CONFIG_TOML_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "config/problem.h"

namespace buckthorngate::config {

// Reads keys of one table, each at most once, and reports what does not fit.
// The table and the problem list must outlive the reader.
class TomlReader {
 public:
  TomlReader(const toml::table& table, std::string file, Problems& problems);

  // Each returns the default, and reports kWrongType, if the value does not
  // fit. A missing required key is reported as kMissingKey.
  std::string RequiredString(std::string_view key);
  std::string String(std::string_view key, std::string_view fallback);
  bool Bool(std::string_view key, bool fallback);
  int64_t Integer(std::string_view key,
                  int64_t fallback,
                  int64_t least,
                  int64_t most);
  double Number(std::string_view key, double fallback);
  std::vector<std::string> Strings(std::string_view key);
  std::optional<toml::date_time> DateTime(std::string_view key);
  const toml::table* Table(std::string_view key);
  // Elements of an array of tables.
  std::vector<const toml::table*> Tables(std::string_view key);

  // Reports each key that was not read as kUnknownKey.
  void RejectUnknownKeys();

  void Report(ResultCode code, std::string_view key, const std::string& detail);

 private:
  const toml::node* Find(std::string_view key);
  uint32_t LineOf(std::string_view key) const;

  const toml::table& table_;
  const std::string file_;
  Problems& problems_;
  std::set<std::string, std::less<>> read_;
};

// Parses a file's text; reports kSyntaxError with its line.
std::optional<toml::table> ParseToml(std::string_view text,
                                     const std::string& file,
                                     Problems& problems);

}  // namespace buckthorngate::config

#endif  // SRC_CONFIG_TOML_READER_H_
