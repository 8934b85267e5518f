#include "source/lab/load/request_record.h"

namespace shedlever::load {

const char* toString(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::Answered:
      return "answered";
    case CallerOutcome::NotRun:
      return "not-run";
    case CallerOutcome::Unknown:
      return "unknown";
    case CallerOutcome::NoReply:
      return "no-reply";
    case CallerOutcome::NotSent:
      return "not-sent";
  }
  return "no-reply";
}

}  // namespace shedlever::load
