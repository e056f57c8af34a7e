// Prints docs/ERRORS.md or docs/EVENTS.md from the tables in code.
#include <iostream>
#include <string>

#include "base/doc_tables.h"

int main(int argc, char** argv) {
  const std::string which = argc > 1 ? argv[1] : "errors";
  std::cout << (which == "events" ? buckthorngate::base::EventsPage()
                                  : buckthorngate::base::ErrorsPage());
  return 0;
}
