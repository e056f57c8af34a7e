// Ports on loopback, for tests.
#ifndef TESTS_LOOPBACK_PORT_H_
#define TESTS_LOOPBACK_PORT_H_

namespace buckthorngate::tests {

// Nothing holds the port any more on return. Throws if there is none.
int FreePort();

// A listening socket, to be closed by the caller; sets its port. Throws if
// there is none.
int ListenAnywhere(int& port);

}  // namespace buckthorngate::tests

#endif  // TESTS_LOOPBACK_PORT_H_
