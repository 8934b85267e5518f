#include "source/router/refused_call.h"

namespace shedlever {

const char* toString(RefusedCall call) {
  switch (call) {
    case RefusedCall::Command:
      return "refused-command";
    case RefusedCall::Request:
      return "refused-request";
    case RefusedCall::HealthCheck:
      break;
  }
  return "refused-health-check";
}

}  // namespace shedlever
