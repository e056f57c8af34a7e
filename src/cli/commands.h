// The tool's commands; each returns an exit code.
#ifndef SRC_CLI_COMMANDS_H_
#define SRC_CLI_COMMANDS_H_

#include "cli/options.h"

namespace buckthorngate::cli {

// publish.cc
int Check(const Options& options);
int Publish(const Options& options);
int Diff(const Options& options);

// query.cc
int Status(const Options& options);
int ConfigShow(const Options& options);
int Endpoints(const Options& options);
int Audit(const Options& options);
int Quarantine(const Options& options);
int MembersList(const Options& options);

// moves.cc
int Moves(const Options& options);

// members.cc
int EvacuateStart(const Options& options);
int EvacuateEnd(const Options& options);
int EvacuateStatus(const Options& options);

int MembersAdd(const Options& options);
int MembersRemove(const Options& options);

// init.cc
int Init(const Options& options);

}  // namespace buckthorngate::cli

#endif  // SRC_CLI_COMMANDS_H_
