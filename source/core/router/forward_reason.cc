/// @file
/// Texts of forward reasons, and the client-visible reason for each.

#include "shedlever/router_frames.h"

namespace shedlever {

const char* toString(ForwardReason reason) {
  switch (reason) {
    case ForwardReason::None:
      return "none";
    case ForwardReason::Overloaded:
      return "overloaded";
    case ForwardReason::QueueFull:
      return "queue-full";
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
    case ForwardReason::Quarantined:
      return "quarantined";
    case ForwardReason::Evacuated:
      return "evacuated";
    case ForwardReason::Unrecognized:
      return "unrecognized";
  }
  return "unknown";
}

Reason reasonOf(ForwardReason reason) {
  switch (reason) {
    case ForwardReason::None:
      return Reason::None;
    case ForwardReason::Overloaded:
    case ForwardReason::ServerRefused:
      return Reason::Overloaded;
    case ForwardReason::QueueFull:
      return Reason::QueueFull;
    case ForwardReason::NotOwner:
      return Reason::NotOwner;
    case ForwardReason::NotYetOwner:
      return Reason::NoOwner;
    case ForwardReason::Draining:
    case ForwardReason::Evacuated:
      return Reason::Draining;
    case ForwardReason::WrongInstance:
    case ForwardReason::ServerDown:
    case ForwardReason::NoInstance:
    case ForwardReason::Unrecognized:
      return Reason::ServerUnavailable;
    case ForwardReason::ConnectionLost:
      return Reason::ConnectionLost;
    case ForwardReason::BrokenAnswer:
      return Reason::BadReply;
    case ForwardReason::TimedOut:
      return Reason::DeadlineExceeded;
    case ForwardReason::Cancelled:
      return Reason::Cancelled;
    case ForwardReason::Quarantined:
      return Reason::Quarantined;
  }
  return Reason::None;
}

}  // namespace shedlever
