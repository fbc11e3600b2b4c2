/// Fuzzes settings trees and edits as operators and other instances send them.

#include "core/SettingsTree.h"
#include "core/TimeZone.h"
#include <cstdlib>
#include <string_view>

using namespace limpetpond;

namespace {

void require(bool condition)
{
    if (!condition)
        std::abort();
}

/// The text of a parsed tree parses to a tree with the same text, and the tree resolves.
void checkTreeText(std::string_view text)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(tree, treeFromJson(text));
            const std::string written = treeToJson(tree);
            BOOST_LEAF_AUTO(again, treeFromJson(written));
            require(treeToJson(again) == written);
            resolve(tree);
            return {};
        },
        [] {});
}

/// An accepted edit results in a tree that passes validation.
void checkEdits(std::string_view text)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(edits, editsFromJson(text));
            const AcceptedChange change { .version = SettingsVersion(1), .change = ChangeId("c"), .author = "fuzz", .edits = std::move(edits) };
            BOOST_LEAF_AUTO(tree, applyChange(SettingsTree {}, change));
            require(static_cast<bool>(checkTree(tree)));
            resolve(tree);
            return {};
        },
        [] {});
}

void checkTimeZone(std::string_view text)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(zone, parseTimeZone(text));
            offsetAt(zone, SystemTime {});
            return {};
        },
        [] {});
}

} // namespace

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    checkTreeText(text);
    checkEdits(text);
    checkTimeZone(text);
    return 0;
}
