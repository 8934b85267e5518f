#include "shedlever/router_frames.h"

namespace shedlever {

const char* toString(ForwardReason reason) {
  switch (reason) {
    case ForwardReason::None:
      return "none";
    case ForwardReason::Overloaded:
      return "overloaded";
    case ForwardReason::WrongInstance:
      return "wrong-instance";
    case ForwardReason::NotOwner:
      return "not-owner";
    case ForwardReason::NotYetOwner:
      return "not-yet-owner";
    case ForwardReason::Draining:
      return "draining";
    case ForwardReason::ServerRefused:
      return "server-refused";
    case ForwardReason::ServerDown:
      return "server-down";
    case ForwardReason::ConnectionLost:
      return "connection-lost";
    case ForwardReason::BrokenAnswer:
      return "broken-answer";
    case ForwardReason::TimedOut:
      return "timed-out";
    case ForwardReason::Cancelled:
      return "cancelled";
    case ForwardReason::NoInstance:
      return "no-instance";
  }
  return "unknown";
}

}  // namespace shedlever
