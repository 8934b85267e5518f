#include "shedlever/server_commands.h"

namespace shedlever {

const char* toString(CommandStatus status) {
  switch (status) {
    case CommandStatus::Done:
      return "done";
    case CommandStatus::Superseded:
      return "superseded";
    case CommandStatus::NoAnswer:
      return "no-answer";
    case CommandStatus::ServerGone:
      return "connection-refused";
    case CommandStatus::WrongInstance:
      return "wrong-instance";
  }
  return "no-answer";
}

}  // namespace shedlever
