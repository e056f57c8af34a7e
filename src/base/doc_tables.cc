// Pages made from the tables in code.
#include "base/doc_tables.h"

#include "base/events.h"
#include "buckthorngate/result_code.h"

namespace buckthorngate::base {

std::string ErrorsPage() {
  std::string page =
      "# Result codes\n\n"
      "Each refusal and failure has one of these codes: in the tool's output, "
      "in the\naudit trail, and in the `Bg-Result` header of HTTP answers. "
      "An HTTP answer that\nalso has `Bg-Not-Run: true` is about a request "
      "that certainly did not run.\n\n"
      "This page is made by `build/tools/print_tables errors`; a test holds it "
      "equal to\n`src/base/result_code.cc`.\n\n"
      "| number | name | meaning |\n| --- | --- | --- |\n";
  for (int i = 0; i < kResultCodeCount; ++i) {
    const ResultCodeInfo& info = Describe(static_cast<ResultCode>(i));
    page += "| " + std::to_string(i) + " | " + std::string(info.name_) + " | " +
            std::string(info.message_) + " |\n";
  }
  return page;
}

std::string EventsPage() {
  std::string page =
      "# Log events\n\n"
      "Each log line is one of these events: `E` and the number in text, the "
      "key `event`\nin JSON lines.\n\n"
      "This page is made by `build/tools/print_tables events`; a test holds it "
      "equal to\n`src/base/events.cc`.\n\n"
      "| number | level | name | meaning |\n| --- | --- | --- | --- |\n";
  for (const EventInfo& info : EventTable()) {
    const char* level = "info";
    if (info.level_ == Level::kWarning) {
      level = "warning";
    } else if (info.level_ == Level::kError) {
      level = "error";
    }
    page += "| " + std::to_string(static_cast<int>(info.id_)) + " | " + level +
            " | " + std::string(info.name_) + " | " + std::string(info.text_) +
            " |\n";
  }
  return page;
}

}  // namespace buckthorngate::base
