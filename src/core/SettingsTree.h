#pragma once

/// The settings tree: branches that inherit from broad to narrow, checked edits, resolution.
///
/// Branches have the paths `site`, `tier/NAME`, `pool/NAME`, `account/NAME`, `target/NAME`
/// and `window/NAME`. A target inherits from its pool and then from the site, a pool and a
/// client account from the site. Every function is pure.

#include "core/SettingsSchema.h"
#include "limpetpond/Errors.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Settings.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// One value of a branch and the change that set it.
struct StoredValue {
    boost::json::value value; ///< In canonical form.
    SettingsVersion version;
    std::string author;
    std::int64_t acceptedAtMs { 0 }; ///< System clock, since the epoch.
};

struct Branch {
    SettingsVersion version; ///< The last change that touched the branch.
    std::map<std::string, StoredValue> fields;
};

struct SettingsTree {
    SettingsVersion version;
    std::map<std::string, Branch> branches; ///< By path.
};

/// One edit of one branch.
struct SettingsEdit {
    std::string path; ///< Such as `pool/drafts`.
    std::string field; ///< Empty for the whole branch.
    std::optional<boost::json::value> value; ///< None removes, so that the inherited value counts.
    std::optional<SettingsVersion> readVersion; ///< The branch's version that the edit is based on (0: absent); none is not checked.
};

/// An accepted change, as the table service and the peers hold it.
struct AcceptedChange {
    SettingsVersion version; ///< The version that the change made.
    ChangeId change;
    std::string author;
    std::int64_t acceptedAtMs { 0 };
    std::vector<SettingsEdit> edits;
};

/// One value as it counts at a branch, and where it comes from.
struct ExplainedField {
    std::string path;
    std::string field;
    boost::json::value value;
    std::string inheritedFrom; ///< The branch that holds the value; empty for the built-in default.
    SettingsVersion version; ///< None for the built-in default.
    std::string author;
    std::int64_t acceptedAtMs { 0 };
};

/// A difference between two trees in a value as it counts at a branch.
struct SettingsEffect {
    std::string path;
    std::string field;
    std::optional<boost::json::value> before; ///< None where the branch did not exist.
    std::optional<boost::json::value> after; ///< None where the branch exists no longer.
};

/// The tree after the change, at `change.version`. Errors: InvalidSetting, SettingsConflict.
///
///     Result<SettingsTree> next = applyChange(tree, { .version = SettingsVersion { 8 }, .edits = edits });
Result<SettingsTree> applyChange(const SettingsTree&, const AcceptedChange&);

/// The tree after a change that was accepted elsewhere. No rule is checked again, and fields that
/// this program doesn't know are kept, so that old and new programs hold equal trees.
SettingsTree replayChange(const SettingsTree&, const AcceptedChange&);

/// Checks the rules that span branches, such as that a target's pool exists. Errors: InvalidSetting.
Result<void> checkTree(const SettingsTree&);

/// The settings that the tree stands for. Values that this program can't read count as not set.
///
///     Settings settings = resolve(tree);
Settings resolve(const SettingsTree&);

/// Every value that counts at a branch; all branches for an empty path. Errors: InvalidSetting for an unknown path.
Result<std::vector<ExplainedField>> explain(const SettingsTree&, const std::string& path);

/// What a change of trees alters, inherited values included.
std::vector<SettingsEffect> effects(const SettingsTree& before, const SettingsTree& after);

/// The branches at and below a path as plain JSON without versions; all for an empty path.
std::string exportBranches(const SettingsTree&, const std::string& path);

/// Which branches an import touches.
enum class ImportScope {
    ListedBranches, ///< Those that the text names.
    WholeTree, ///< All: a branch that the text doesn't name is removed.
};

/// The edits that bring a tree to what `exportBranches` wrote. Errors: InvalidSetting.
Result<std::vector<SettingsEdit>> importEdits(const SettingsTree&, std::string_view json, ImportScope);

/// The whole tree as canonical JSON: equal trees give equal bytes.
///
///     Result<SettingsTree> same = treeFromJson(treeToJson(tree));
std::string treeToJson(const SettingsTree&);

/// Errors: InvalidSetting for text that `treeToJson` can't have written.
Result<SettingsTree> treeFromJson(std::string_view);

/// The edits of a change as JSON and back. Errors: InvalidSetting.
std::string editsToJson(const std::vector<SettingsEdit>&);
Result<std::vector<SettingsEdit>> editsFromJson(std::string_view);

} // namespace limpetpond
