// A free port on loopback, for tests.
#ifndef TESTS_FREE_PORT_H_
#define TESTS_FREE_PORT_H_

namespace buckthorngate::tests {

// Nothing holds the port any more on return. Throws if there is none.
int FreePort();

}  // namespace buckthorngate::tests

#endif  // TESTS_FREE_PORT_H_
