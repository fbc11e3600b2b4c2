#include "core/SettingsTree.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <set>

namespace limpetpond {

namespace detail {

    namespace {

        namespace json = boost::json;

        constexpr std::size_t maxNesting = 8;
        constexpr std::string_view pathRule = "site, tier/NAME, pool/NAME, account/NAME, target/NAME or window/NAME, with NAME of 1 to 64 letters, digits, '.', '_' and '-'";

        boost::leaf::error_id invalid(std::string name, std::string value, std::string allowed)
        {
            return boost::leaf::new_error(InvalidSetting { .name = std::move(name), .value = std::move(value), .allowed = std::move(allowed) });
        }

        std::string fieldNames(BranchKind kind)
        {
            std::string names;
            for (const FieldSchema& field : settingsSchema()) {
                if (findField(kind, field.name) == &field)
                    names += (names.empty() ? "" : ", ") + std::string(field.name);
            }
            return names;
        }

        Result<json::value> checkField(BranchKind kind, const std::string& path, const std::string& name, const json::value& value)
        {
            const FieldSchema* field = findField(kind, name);
            if (!field)
                return invalid(path + " " + name, valueToJson(value), "a field of a " + std::string(toString(kind)) + " branch: " + fieldNames(kind));
            return checkValue(*field, path, value);
        }

        SettingsVersion branchVersion(const SettingsTree& tree, const std::string& path)
        {
            auto branch = tree.branches.find(path);
            return branch == tree.branches.end() ? SettingsVersion() : branch->second.version;
        }

        json::object branchAsJson(const Branch& branch)
        {
            json::object fields;
            for (const auto& [name, stored] : branch.fields)
                fields[name] = stored.value;
            return fields;
        }

        /// JSON text with object members in stored order and numbers in their shortest form.
        std::string toText(const json::value& value)
        {
            if (const json::object* object = value.if_object()) {
                std::string text = "{";
                for (const auto& member : *object) {
                    text += text.size() > 1 ? "," : "";
                    text += valueToJson(json::value(member.key())) + ":" + toText(member.value());
                }
                return text + "}";
            }
            if (const json::array* array = value.if_array()) {
                std::string text = "[";
                for (const json::value& item : *array) {
                    text += text.size() > 1 ? "," : "";
                    text += toText(item);
                }
                return text + "]";
            }
            return valueToJson(value);
        }

        Result<void> checkReadVersion(const SettingsTree& tree, const SettingsEdit& edit)
        {
            SettingsVersion current = branchVersion(tree, edit.path);
            if (!edit.readVersion || *edit.readVersion == current)
                return {};
            auto branch = tree.branches.find(edit.path);
            json::value refused = edit.value ? *edit.value : json::value();
            if (!edit.field.empty())
                refused = json::object { { edit.field, refused } };
            return boost::leaf::new_error(SettingsConflict {
                .path = edit.path,
                .readVersion = *edit.readVersion,
                .currentVersion = current,
                .currentValue = branch == tree.branches.end() ? "null" : toText(branchAsJson(branch->second)),
                .refusedValue = toText(refused),
            });
        }

        /// Checks an edit and returns it with its values in canonical form. Errors: InvalidSetting.
        Result<SettingsEdit> checkEdit(const SettingsEdit& edit)
        {
            std::optional<BranchKind> kind = kindOfPath(edit.path);
            if (!kind)
                return invalid(edit.path, edit.field, std::string(pathRule));
            SettingsEdit checked = edit;
            if (!edit.value) {
                if (!edit.field.empty() && !findField(*kind, edit.field))
                    return invalid(edit.path + " " + edit.field, "", "a field of a " + std::string(toString(*kind)) + " branch: " + fieldNames(*kind));
                return checked;
            }
            if (!edit.field.empty()) {
                BOOST_LEAF_AUTO(value, checkField(*kind, edit.path, edit.field, *edit.value));
                checked.value = value;
                return checked;
            }
            const json::object* fields = edit.value->if_object();
            if (!fields)
                return invalid(edit.path, toText(*edit.value), "an object of fields for a whole branch");
            json::object canonical;
            for (const auto& member : *fields) {
                BOOST_LEAF_AUTO(value, checkField(*kind, edit.path, std::string(member.key()), member.value()));
                canonical[member.key()] = value;
            }
            checked.value = canonical;
            return checked;
        }

        StoredValue stored(const AcceptedChange& change, const json::value& value)
        {
            return { .value = value, .version = change.version, .author = change.author, .acceptedAtMs = change.acceptedAtMs };
        }

        void setField(Branch& branch, const AcceptedChange& change, const std::string& name, const json::value& value)
        {
            auto old = branch.fields.find(name);
            if (old != branch.fields.end() && old->second.value == value)
                return;
            branch.fields[name] = stored(change, value);
            branch.version = change.version;
        }

        void replaceBranch(Branch& branch, const AcceptedChange& change, const json::object& fields)
        {
            for (auto field = branch.fields.begin(); field != branch.fields.end();) {
                if (fields.contains(field->first)) {
                    ++field;
                    continue;
                }
                field = branch.fields.erase(field);
                branch.version = change.version;
            }
            for (const auto& member : fields)
                setField(branch, change, std::string(member.key()), member.value());
        }

        void applyEdit(SettingsTree& tree, const AcceptedChange& change, const SettingsEdit& edit)
        {
            if (!edit.value && edit.field.empty()) {
                tree.branches.erase(edit.path);
                return;
            }
            auto found = tree.branches.find(edit.path);
            if (!edit.value) {
                if (found != tree.branches.end() && found->second.fields.erase(edit.field))
                    found->second.version = change.version;
                return;
            }
            if (found == tree.branches.end())
                found = tree.branches.emplace(edit.path, Branch { .version = change.version }).first;
            if (!edit.field.empty()) {
                setField(found->second, change, edit.field, *edit.value);
                return;
            }
            if (const json::object* fields = edit.value->if_object())
                replaceBranch(found->second, change, *fields);
        }

        /// Parses JSON text whose nesting is limited to `maxNesting`. Errors: InvalidSetting.
        Result<json::value> parseJson(std::string_view text, std::string_view what)
        {
            json::error_code error;
            json::parse_options options;
            options.max_depth = maxNesting;
            json::value value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
            if (error)
                return invalid(std::string(what), std::string(text.substr(0, 80)), "JSON text: " + error.message());
            return value;
        }

        std::uint64_t unsignedOr0(const json::object& object, std::string_view name)
        {
            const json::value* value = object.if_contains(name);
            if (!value)
                return 0;
            json::error_code error;
            auto number = value->to_number<std::uint64_t>(error);
            return error ? 0 : number;
        }

        std::string stringOrEmpty(const json::object& object, std::string_view name)
        {
            const json::value* value = object.if_contains(name);
            const json::string* text = value ? value->if_string() : nullptr;
            return text ? std::string(*text) : std::string();
        }

        json::object storedAsJson(const StoredValue& stored)
        {
            return { { "value", stored.value }, { "version", stored.version.value() }, { "author", stored.author }, { "acceptedAtMs", stored.acceptedAtMs } };
        }

        Result<StoredValue> storedFromJson(const std::string& name, const json::value& value)
        {
            const json::object* object = value.if_object();
            if (!object || !object->contains("value"))
                return invalid(name, toText(value), "an object with value, version, author and acceptedAtMs");
            return StoredValue {
                .value = object->at("value"),
                .version = SettingsVersion(unsignedOr0(*object, "version")),
                .author = stringOrEmpty(*object, "author"),
                .acceptedAtMs = static_cast<std::int64_t>(unsignedOr0(*object, "acceptedAtMs")),
            };
        }

        Result<Branch> branchFromJson(const std::string& path, const json::value& value)
        {
            const json::object* object = value.if_object();
            const json::value* fields = object ? object->if_contains("fields") : nullptr;
            if (!fields || !fields->is_object())
                return invalid(path, toText(value), "an object with version and fields");
            Branch branch { .version = SettingsVersion(unsignedOr0(*object, "version")) };
            for (const auto& member : fields->get_object()) {
                std::string name(member.key());
                std::string label = path;
                label.append(" ").append(name);
                BOOST_LEAF_AUTO(stored, storedFromJson(label, member.value()));
                branch.fields.emplace(name, std::move(stored));
            }
            return branch;
        }

        Result<SettingsEdit> editFromJson(const json::value& value)
        {
            const json::object* object = value.if_object();
            if (!object || !object->contains("path"))
                return invalid("edit", toText(value), "an object with path, field, value and readVersion");
            SettingsEdit edit { .path = stringOrEmpty(*object, "path"), .field = stringOrEmpty(*object, "field") };
            if (const json::value* set = object->if_contains("value"))
                edit.value = *set;
            if (object->contains("readVersion"))
                edit.readVersion = SettingsVersion(unsignedOr0(*object, "readVersion"));
            return edit;
        }

    } // namespace

} // namespace detail

Result<SettingsTree> applyChange(const SettingsTree& tree, const AcceptedChange& change)
{
    if (change.version <= tree.version)
        return detail::invalid("version", std::to_string(change.version.value()), "a version above " + std::to_string(tree.version.value()));
    if (change.edits.empty())
        return detail::invalid("edits", "[]", "at least one edit");
    SettingsTree next = tree;
    next.version = change.version;
    for (const SettingsEdit& edit : change.edits) {
        BOOST_LEAF_AUTO(checked, detail::checkEdit(edit));
        BOOST_LEAF_CHECK(detail::checkReadVersion(tree, edit));
        detail::applyEdit(next, change, checked);
    }
    BOOST_LEAF_CHECK(checkTree(next));
    return next;
}

SettingsTree replayChange(const SettingsTree& tree, const AcceptedChange& change)
{
    SettingsTree next = tree;
    next.version = change.version;
    for (const SettingsEdit& edit : change.edits) {
        // An edit that passes the check is replayed in canonical form, as it was accepted.
        // Any other edit is replayed unchanged.
        boost::leaf::try_handle_all([&]() -> Result<void> {
            BOOST_LEAF_AUTO(checked, detail::checkEdit(edit));
            detail::applyEdit(next, change, checked);
            return {}; }, [&] { detail::applyEdit(next, change, edit); });
    }
    return next;
}

std::string exportBranches(const SettingsTree& tree, const std::string& path)
{
    boost::json::object branches;
    for (const auto& [name, branch] : tree.branches) {
        if (path.empty() || name == path || name.starts_with(path + "/"))
            branches[name] = detail::branchAsJson(branch);
    }
    return detail::toText(branches);
}

Result<std::vector<SettingsEdit>> importEdits(const SettingsTree& tree, std::string_view text, ImportScope scope)
{
    BOOST_LEAF_AUTO(parsed, detail::parseJson(text, "import"));
    const boost::json::object* branches = parsed.if_object();
    if (!branches)
        return detail::invalid("import", std::string(text.substr(0, 80)), "an object of branches by path");
    std::vector<SettingsEdit> edits;
    std::set<std::string> importedPaths;
    for (const auto& member : *branches) {
        std::string path(member.key());
        importedPaths.insert(path);
        auto current = tree.branches.find(path);
        if (current != tree.branches.end() && detail::branchAsJson(current->second) == member.value())
            continue;
        edits.push_back({ .path = path, .value = member.value(), .readVersion = detail::branchVersion(tree, path) });
    }
    if (scope == ImportScope::ListedBranches)
        return edits;
    for (const auto& [path, branch] : tree.branches) {
        if (!importedPaths.contains(path))
            edits.push_back({ .path = path, .readVersion = branch.version });
    }
    return edits;
}

std::string treeToJson(const SettingsTree& tree)
{
    boost::json::object branches;
    for (const auto& [path, branch] : tree.branches) {
        boost::json::object fields;
        for (const auto& [name, stored] : branch.fields)
            fields[name] = detail::storedAsJson(stored);
        branches[path] = boost::json::object { { "version", branch.version.value() }, { "fields", std::move(fields) } };
    }
    return detail::toText(boost::json::object { { "version", tree.version.value() }, { "branches", std::move(branches) } });
}

Result<SettingsTree> treeFromJson(std::string_view text)
{
    BOOST_LEAF_AUTO(parsed, detail::parseJson(text, "tree"));
    const boost::json::object* object = parsed.if_object();
    const boost::json::value* branches = object ? object->if_contains("branches") : nullptr;
    if (!branches || !branches->is_object())
        return detail::invalid("tree", std::string(text.substr(0, 80)), "an object with version and branches");
    SettingsTree tree { .version = SettingsVersion(detail::unsignedOr0(*object, "version")) };
    for (const auto& member : branches->get_object()) {
        std::string path(member.key());
        BOOST_LEAF_AUTO(branch, detail::branchFromJson(path, member.value()));
        tree.branches.emplace(path, std::move(branch));
    }
    return tree;
}

std::string editsToJson(const std::vector<SettingsEdit>& edits)
{
    boost::json::array list;
    for (const SettingsEdit& edit : edits) {
        boost::json::object object { { "path", edit.path }, { "field", edit.field } };
        if (edit.value)
            object["value"] = *edit.value;
        if (edit.readVersion)
            object["readVersion"] = edit.readVersion->value();
        list.push_back(std::move(object));
    }
    return detail::toText(list);
}

Result<std::vector<SettingsEdit>> editsFromJson(std::string_view text)
{
    BOOST_LEAF_AUTO(parsed, detail::parseJson(text, "edits"));
    const boost::json::array* list = parsed.if_array();
    if (!list)
        return detail::invalid("edits", std::string(text.substr(0, 80)), "a list of edits");
    std::vector<SettingsEdit> edits;
    for (const boost::json::value& item : *list) {
        BOOST_LEAF_AUTO(edit, detail::editFromJson(item));
        edits.push_back(std::move(edit));
    }
    return edits;
}

} // namespace limpetpond
