// Heads of HTTP messages, apart from any connection.
#ifndef SRC_HTTP_HEAD_H_
#define SRC_HTTP_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngate::http {

bool EqualsIgnoringCase(std::string_view a, std::string_view b);
// An order in which names are equal if they are equal without case.
bool PrecedesIgnoringCase(std::string_view a, std::string_view b);

// Nothing unless the whole text is a decimal number.
std::optional<uint64_t> ParseNumber(std::string_view text);

// Replaces each "%41" and the like; what is no such escape stays as it is.
std::string DecodePath(std::string_view path);

struct Header {
  std::string name_;
  std::string value_;
};

// Headers in the order of the message. Names compare without case.
class Headers {
 public:
  // First value, or empty.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;
  void Add(std::string_view name, std::string_view value);
  // Replaces all values of the name.
  void Set(std::string_view name, std::string_view value);
  void Erase(std::string_view name);
  void EraseWithPrefix(std::string_view prefix);

  const std::vector<Header>& Items() const { return items_; }
  void Reserve(size_t count) { items_.reserve(count); }

 private:
  std::vector<Header> items_;
};

// Whether the header concerns one connection only, or the framing of its
// message, and so is never passed on.
bool IsConnectionHeader(std::string_view name);

struct RequestHead {
  std::string method_;
  std::string target_;
  Headers headers_;

  // The target without its query.
  std::string_view Path() const;
};

struct AnswerHead {
  int status_ = 0;
  Headers headers_;
};

// Whether an answer with this status never has a body.
bool NeverHasBody(int status);

}  // namespace buckthorngate::http

#endif  // SRC_HTTP_HEAD_H_
