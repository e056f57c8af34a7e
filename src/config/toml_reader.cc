// Checked reading of TOML tables.
#include "config/toml_reader.h"

namespace buckthorngate::config {

std::string Format(const Problem& problem) {
  const ResultCodeInfo& info = Describe(problem.code_);
  std::string text = problem.file_;
  if (problem.line_ != 0) {
    text += ":" + std::to_string(problem.line_);
  }
  text += ": " + std::to_string(static_cast<int>(problem.code_)) + " " +
          std::string(info.name_) + ": " + std::string(info.message_);
  if (!problem.detail_.empty()) {
    text += " (" + problem.detail_ + ")";
  }
  return text;
}

TomlReader::TomlReader(const toml::table& table,
                       std::string file,
                       Problems& problems)
    : table_(table), file_(std::move(file)), problems_(problems) {}

const toml::node* TomlReader::Find(std::string_view key) {
  read_.emplace(key);
  return table_.get(key);
}

uint32_t TomlReader::LineOf(std::string_view key) const {
  const toml::node* node = table_.get(key);
  return node != nullptr ? node->source().begin.line
                         : table_.source().begin.line;
}

void TomlReader::Report(ResultCode code,
                        std::string_view key,
                        const std::string& detail) {
  std::string text(key);
  if (!detail.empty()) {
    text += ": " + detail;
  }
  problems_.push_back({code, file_, LineOf(key), text});
}

std::string TomlReader::RequiredString(std::string_view key) {
  if (Find(key) == nullptr) {
    Report(ResultCode::kMissingKey, key, "");
    return {};
  }
  std::string value = String(key, "");
  if (value.empty()) {
    Report(ResultCode::kWrongType, key, "must not be empty");
  }
  return value;
}

std::string TomlReader::String(std::string_view key,
                               std::string_view fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::string(fallback);
  }
  if (!node->is_string()) {
    Report(ResultCode::kWrongType, key, "expected a string");
    return std::string(fallback);
  }
  return node->as_string()->get();
}

bool TomlReader::Bool(std::string_view key, bool fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_boolean()) {
    Report(ResultCode::kWrongType, key, "expected true or false");
    return fallback;
  }
  return node->as_boolean()->get();
}

int64_t TomlReader::Integer(std::string_view key,
                            int64_t fallback,
                            int64_t least,
                            int64_t most) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const std::string range =
      std::to_string(least) + " to " + std::to_string(most);
  if (!node->is_integer()) {
    Report(ResultCode::kWrongType, key, "expected an integer, " + range);
    return fallback;
  }
  const int64_t value = node->as_integer()->get();
  if (value < least || value > most) {
    Report(ResultCode::kWrongType, key, "expected " + range);
    return fallback;
  }
  return value;
}

double TomlReader::Number(std::string_view key, double fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_number()) {
    Report(ResultCode::kWrongType, key, "expected a number");
    return fallback;
  }
  return node->value<double>().value_or(fallback);
}

std::vector<std::string> TomlReader::Strings(std::string_view key) {
  std::vector<std::string> values;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return values;
  }
  if (!node->is_array()) {
    Report(ResultCode::kWrongType, key, "expected an array of strings");
    return values;
  }
  for (const toml::node& element : *node->as_array()) {
    if (!element.is_string()) {
      Report(ResultCode::kWrongType, key, "expected an array of strings");
      return {};
    }
    values.push_back(element.as_string()->get());
  }
  return values;
}

std::optional<toml::date_time> TomlReader::DateTime(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    Report(ResultCode::kMissingKey, key, "");
    return std::nullopt;
  }
  if (!node->is_date_time() || !node->as_date_time()->get().offset) {
    Report(ResultCode::kWrongType, key,
           "expected a time with its offset, as 2027-01-31T12:00:00Z");
    return std::nullopt;
  }
  return node->as_date_time()->get();
}

const toml::table* TomlReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return nullptr;
  }
  if (!node->is_table()) {
    Report(ResultCode::kWrongType, key, "expected a table");
    return nullptr;
  }
  return node->as_table();
}

std::vector<const toml::table*> TomlReader::Tables(std::string_view key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return tables;
  }
  if (!node->is_array_of_tables()) {
    Report(ResultCode::kWrongType, key, "expected an array of tables");
    return tables;
  }
  for (const toml::node& element : *node->as_array()) {
    tables.push_back(element.as_table());
  }
  return tables;
}

void TomlReader::RejectUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (read_.find(key.str()) == read_.end()) {
      Report(ResultCode::kUnknownKey, key.str(), "");
    }
  }
}

std::optional<toml::table> ParseToml(std::string_view text,
                                     const std::string& file,
                                     Problems& problems) {
  // toml++ throws on syntax errors; the exception ends here.
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    problems.push_back({ResultCode::kSyntaxError, file,
                        error.source().begin.line,
                        std::string(error.description())});
    return std::nullopt;
  }
}

}  // namespace buckthorngate::config
