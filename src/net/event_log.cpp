#include "net/event_log.h"

#include <cctype>
#include <utility>

#include "net/http.h"

namespace flaxdoor::net {

namespace {

constexpr unsigned max_lines_per_interval = 20;
constexpr std::size_t max_printable_length = 32;

}  // namespace

std::string printable(std::string_view text) {
    std::string safe(text.substr(0, max_printable_length));
    for (char& c : safe) {
        const bool plain =
            std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
        if (!plain) c = '?';
    }
    return safe;
}

void EventLog::write(std::string_view line) {
    if (lines_ >= max_lines_per_interval) {
        ++suppressed_;
        return;
    }
    ++lines_;
    log(line);
}

unsigned EventLog::start_interval() {
    lines_ = 0;
    return std::exchange(suppressed_, 0);
}

}  // namespace flaxdoor::net
