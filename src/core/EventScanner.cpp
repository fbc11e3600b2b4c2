#include "core/EventScanner.h"

#include "core/BufferAccount.h"
#include "core/Guard.h"
#include <charconv>

namespace limpetpond {

namespace {

    std::string_view withoutLineEnd(std::string_view line)
    {
        while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
            line.remove_suffix(1);
        return line;
    }

    std::optional<std::uint64_t> idOfLine(std::string_view line)
    {
        constexpr std::string_view field = "id:";
        line = withoutLineEnd(line);
        if (line.substr(0, field.size()) != field)
            return std::nullopt;
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec != std::errc() || parsed.ptr != line.data() + line.size())
            return std::nullopt;
        return id;
    }

    bool followsLastEvent(const EventScanner& scanner)
    {
        if (!scanner.lastId || isGuardDisabled(GuardId::ResumeFollowsLastEvent))
            return true;
        if (!scanner.heldId)
            return scanner.isHeldComment;
        return scanner.isResumed ? *scanner.heldId == *scanner.lastId + 1 : *scanner.heldId > *scanner.lastId;
    }

    void acceptHeldEvent(EventScanner& scanner)
    {
        if (scanner.heldId) {
            scanner.lastId = scanner.heldId;
            scanner.isResumed = false;
        }
        scanner.heldId.reset();
        scanner.isHeldComment = true;
    }

} // namespace

ScannedEvents scanEvents(EventScanner& scanner, std::string_view piece)
{
    if (scanner.isTooLong || scanner.isOutOfOrder)
        return {};
    scanner.held.append(piece);
    std::string_view bytes = scanner.held;
    ScannedEvents scanned;
    std::size_t eventBegin = 0;
    std::size_t lineBegin = scanner.searched;
    while (true) {
        std::size_t lineEnd = bytes.find('\n', lineBegin);
        if (lineEnd == std::string_view::npos)
            break;
        std::string_view line = bytes.substr(lineBegin, lineEnd + 1 - lineBegin);
        lineBegin = lineEnd + 1;
        if (!withoutLineEnd(line).empty()) {
            scanner.isHeldComment = scanner.isHeldComment && line.front() == ':';
            if (std::optional<std::uint64_t> found = idOfLine(line))
                scanner.heldId = found;
            continue;
        }
        if (!followsLastEvent(scanner)) {
            scanner.isOutOfOrder = true;
            break;
        }
        acceptHeldEvent(scanner);
        ++scanned.count;
        eventBegin = lineBegin;
    }
    scanned.whole.assign(bytes.substr(0, eventBegin));
    scanner.held.erase(0, eventBegin);
    releaseSpareMemory(scanner.held);
    scanner.searched = lineBegin - eventBegin;
    scanner.isTooLong = scanner.held.size() > maxEventBytes;
    if (scanner.isTooLong || scanner.isOutOfOrder) {
        scanner.held.clear();
        scanner.held.shrink_to_fit();
    }
    return scanned;
}

void dropPartialEvent(EventScanner& scanner) { scanner = { .lastId = scanner.lastId, .isResumed = scanner.lastId.has_value() }; }

bool isMidEvent(const EventScanner& scanner) { return scanner.isTooLong || scanner.isOutOfOrder || !scanner.held.empty(); }

} // namespace limpetpond
