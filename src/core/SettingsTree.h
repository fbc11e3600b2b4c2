#pragma once

/// The settings tree with inheritance between branches, checked edits and resolution into `Settings`.
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

/// The values that are set at one path.
struct Branch {
    SettingsVersion version; ///< The last change that modified the branch.
    std::map<std::string, StoredValue> fields;
};

/// All branches at one version.
struct SettingsTree {
    SettingsVersion version;
    std::map<std::string, Branch> branches; ///< By path.
};

/// One edit of one branch.
struct SettingsEdit {
    std::string path; ///< Such as `pool/drafts`.
    std::string field; ///< Empty for the whole branch.
    std::optional<boost::json::value> value; ///< None removes the value, so that the inherited one applies.
    std::optional<SettingsVersion> readVersion; ///< The branch version that the edit is based on, 0 for an absent branch; not checked when none.
};

/// An accepted change, as the table service and the peers store it.
struct AcceptedChange {
    SettingsVersion version; ///< The version that the change created.
    ChangeId change;
    std::string author;
    std::int64_t acceptedAtMs { 0 };
    std::vector<SettingsEdit> edits;
};

/// The effective value of a field at a branch, and its origin.
struct ExplainedField {
    std::string path;
    std::string field;
    boost::json::value value;
    std::string inheritedFrom; ///< The branch that holds the value; empty for the built-in default.
    SettingsVersion version; ///< None for the built-in default.
    std::string author;
    std::int64_t acceptedAtMs { 0 };
};

/// A difference between two trees in the effective value of a field.
struct SettingsEffect {
    std::string path;
    std::string field;
    std::optional<boost::json::value> before; ///< None if the branch did not exist.
    std::optional<boost::json::value> after; ///< None if the branch no longer exists.
};

/// Checks a change and returns the tree after it, at `change.version`. Errors: InvalidSetting, SettingsConflict.
///
///     Result<SettingsTree> next = applyChange(tree, { .version = SettingsVersion { 8 }, .edits = edits });
Result<SettingsTree> applyChange(const SettingsTree&, const AcceptedChange&);

/// The tree after a change that another instance accepted. No rule is checked again, and fields that this
/// program does not know are kept, so that programs of different versions have equal trees.
SettingsTree replayChange(const SettingsTree&, const AcceptedChange&);

/// Checks the rules that span branches, such as that a target's pool exists. Errors: InvalidSetting.
Result<void> checkTree(const SettingsTree&);

/// Resolves the tree into settings. Values that this program can't read count as not set.
///
///     Settings settings = resolve(tree);
Settings resolve(const SettingsTree&);

/// The effective values at a branch, or at all branches for an empty path. Errors: InvalidSetting for an unknown path.
Result<std::vector<ExplainedField>> explain(const SettingsTree&, const std::string& path);

/// The effective values that differ between two trees, inherited ones included.
std::vector<SettingsEffect> effects(const SettingsTree& before, const SettingsTree& after);

/// The branches at and below a path as JSON without versions; all branches for an empty path.
std::string exportBranches(const SettingsTree&, const std::string& path);

/// Which branches an import changes.
enum class ImportScope {
    ListedBranches, ///< Branches that the text names.
    WholeTree, ///< All branches; one that the text does not name is removed.
};

/// The edits that change a tree to match text in the format of `exportBranches`. Errors: InvalidSetting.
Result<std::vector<SettingsEdit>> importEdits(const SettingsTree&, std::string_view json, ImportScope);

/// The whole tree as canonical JSON; equal trees give equal bytes.
///
///     Result<SettingsTree> same = treeFromJson(treeToJson(tree));
std::string treeToJson(const SettingsTree&);

/// The tree from JSON in the format of `treeToJson`. Errors: InvalidSetting for text in any other format.
Result<SettingsTree> treeFromJson(std::string_view);

/// Convert the edits of a change to JSON and back. Errors: InvalidSetting.
std::string editsToJson(const std::vector<SettingsEdit>&);
Result<std::vector<SettingsEdit>> editsFromJson(std::string_view);

} // namespace limpetpond
