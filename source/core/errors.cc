#include "shedlever/errors.h"

namespace shedlever {

std::string toString(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings.list) {
    text += finding.location + ": " + finding.message + "\n";
  }
  return text;
}

}  // namespace shedlever
