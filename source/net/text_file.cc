#include "source/net/text_file.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace shedlever {

leaf::result<std::string> readTextFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    Findings findings;
    findings.add(path, "can't be read");
    return leaf::new_error(std::move(findings));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace shedlever
