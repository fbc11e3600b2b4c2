#pragma once

/// An in-process fake of the platform's store: keeps rows in memory, serves long polls, fails as the test sets, and can be
/// restored from a copy of itself.

#include "test/fakes/common/FakeServer.h"
#include <absl/strings/escaping.h>
#include <map>

namespace limpetpond::fakes {

class StoreFake {
public:
    /// `connections` are served at once; each instance needs two for its long polls and one for other calls.
    explicit StoreFake(std::size_t connections = 12)
    {
        configure(m_server);
        // These threads are joined on shutdown. A detached thread could free its memory during CppUTest's leak check.
        m_server.new_task_queue = [connections] { return new httplib::ThreadPool(connections); };
        m_server.Get("/v1/rows-get", [this](const httplib::Request& request, httplib::Response& response) { list(request, response); });
        m_server.Get("/v1/rows-feed", [this](const httplib::Request& request, httplib::Response& response) { feed(request, response); });
        m_server.Post("/v1/rows-tx", [this](const httplib::Request& request, httplib::Response& response) { write(request, response); });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    ~StoreFake()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        m_server.stop();
        m_thread.join();
    }

    StoreFake(const StoreFake&) = delete;
    StoreFake& operator=(const StoreFake&) = delete;

    int port() const { return m_port; }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        m_tables[table][key] = { value, false, ++m_version };
        m_changed.notify_all();
    }

    void drop(const std::string& table, const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        m_tables[table][key] = { "", true, ++m_version };
        m_changed.notify_all();
    }

    /// Answers 410 to long polls for earlier changes, as after a loss of the change history.
    void discardHistory()
    {
        std::lock_guard lock(m_mutex);
        m_oldestVersion = ++m_version;
        m_changed.notify_all();
    }

    struct Row {
        std::string value;
        bool isDeleted { false };
        std::uint64_t version { 0 };
    };
    using Tables = std::map<std::string, std::map<std::string, Row>>;

    /// The rows and the version at one moment.
    struct Copy {
        Tables tables;
        std::uint64_t version { 0 };
    };

    Copy copy()
    {
        std::lock_guard lock(m_mutex);
        return { .tables = m_tables, .version = m_version };
    }

    /// Goes back to an earlier copy. What was written since is lost, and its versions are given out again.
    void restore(const Copy& copy)
    {
        std::lock_guard lock(m_mutex);
        m_tables = copy.tables;
        m_version = copy.version;
        ++m_era;
        m_changed.notify_all();
    }

    std::uint64_t version()
    {
        std::lock_guard lock(m_mutex);
        return m_version;
    }

    /// The number of reads of whole tables so far.
    int wholeReads()
    {
        std::lock_guard lock(m_mutex);
        return m_wholeReads;
    }

    /// Sets the status of every answer; 0 for normal service.
    void setFailStatus(int status)
    {
        std::lock_guard lock(m_mutex);
        m_failStatus = status;
        m_changed.notify_all();
    }

    /// While set, calls are received but never answered, not even after it is reset.
    void setSilent(bool isSilent)
    {
        std::lock_guard lock(m_mutex);
        m_isSilent = isSilent;
        m_changed.notify_all();
    }

    /// While set, calls that arrive are never answered, not even after it is reset. Polls that arrived before are.
    void setLosingCalls(bool isLosingCalls)
    {
        std::lock_guard lock(m_mutex);
        m_isLosingCalls = isLosingCalls;
    }

    /// The values of the table's rows that are not deleted, by key.
    std::map<std::string, std::string> rows(const std::string& table)
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, std::string> values;
        for (const auto& [key, row] : m_tables[table]) {
            if (!row.isDeleted)
                values[key] = row.value;
        }
        return values;
    }

    /// While set, transactions with a condition are performed and never answered.
    void setLosingAnswers(bool isLosingAnswers)
    {
        std::lock_guard lock(m_mutex);
        m_isLosingAnswers = isLosingAnswers;
    }

    /// A row that a transaction has written.
    struct WrittenRow {
        std::string table;
        std::string key;
        std::string value;
    };

    /// All rows that transactions have written, in their order.
    std::vector<WrittenRow> history()
    {
        std::lock_guard lock(m_mutex);
        return m_history;
    }

    /// The transactions that were answered with 412.
    int refusedWrites()
    {
        std::lock_guard lock(m_mutex);
        return m_refusedWrites;
    }

    int calls()
    {
        std::lock_guard lock(m_mutex);
        return m_calls;
    }

private:
    bool answersFailure(httplib::Response& response)
    {
        ++m_calls;
        response.set_header("Store-Era", std::to_string(m_era));
        response.status = m_failStatus ? m_failStatus : 200;
        return m_failStatus;
    }

    json::object rowJson(const std::string& table, const std::string& key, const Row& row)
    {
        json::object object { { "table", table }, { "part", "" }, { "key", key }, { "objVer", row.version } };
        if (row.isDeleted)
            object["deleted"] = true;
        else
            object["value"] = absl::Base64Escape(row.value);
        return object;
    }

    void answerRows(httplib::Response& response, const std::string& table, std::uint64_t after, bool withDeleted)
    {
        json::array rows;
        for (const auto& [key, row] : m_tables[table]) {
            if (row.version > after && (withDeleted || !row.isDeleted))
                rows.push_back(rowJson(table, key, row));
        }
        answerJson(response, json::object { { "rows", std::move(rows) }, { "hasMore", false }, { "objVer", m_version }, { "serverTimeMs", 1 } });
    }

    /// Blocks a call until the fake stops if it is to get no answer; true if it did.
    bool blocked(std::unique_lock<std::mutex>& lock, bool isLost)
    {
        if (!isLost && !m_isSilent)
            return false;
        m_changed.wait(lock, [this] { return m_isStopping; });
        return true;
    }

    void list(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        if (blocked(lock, m_isLosingCalls))
            return;
        if (answersFailure(response))
            return;
        ++m_wholeReads;
        answerRows(response, request.get_param_value("table"), 0, false);
    }

    bool hasChanges(const std::string& table, std::uint64_t after)
    {
        for (const auto& [key, row] : m_tables[table]) {
            if (row.version > after)
                return true;
        }
        return false;
    }

    void feed(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        bool isLost = m_isLosingCalls;
        std::string table = request.get_param_value("table");
        std::uint64_t after = std::stoull(request.get_param_value("after"));
        auto wait = std::chrono::milliseconds(std::stoi(request.get_param_value("waitMs")));
        m_changed.wait_for(lock, wait, [&] { return isLost || m_isStopping || m_isSilent || m_failStatus || after < m_oldestVersion || hasChanges(table, after); });
        if (blocked(lock, isLost) || answersFailure(response))
            return;
        if (after < m_oldestVersion || after > m_version)
            response.status = 410;
        else
            answerRows(response, table, after, true);
    }

    /// The row's version, or 0 for a row that doesn't exist.
    std::uint64_t rowVersion(const std::string& table, const std::string& key)
    {
        auto row = m_tables[table].find(key);
        return row == m_tables[table].end() || row->second.isDeleted ? 0 : row->second.version;
    }

    /// Answers 412 with the rows of the conditions if one of them doesn't hold; true if it did.
    bool refusesCondition(const json::object& body, httplib::Response& response)
    {
        bool holds = true;
        json::array rows;
        for (const json::value& condition : body.at("ifRev").as_array()) {
            std::string table(condition.at("table").as_string());
            std::string key(condition.at("key").as_string());
            std::uint64_t version = rowVersion(table, key);
            holds = holds && version == condition.at("objVer").to_number<std::uint64_t>();
            if (version)
                rows.push_back(rowJson(table, key, m_tables[table][key]));
        }
        if (holds)
            return false;
        ++m_refusedWrites;
        answerJson(response, json::object { { "rows", std::move(rows) } }, 412);
        return true;
    }

    void write(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        const json::object body = parseBody(request.body);
        bool isConditional = !body.at("ifRev").as_array().empty();
        if (isConditional && blocked(lock, m_isLosingCalls))
            return;
        if (answersFailure(response))
            return;
        if (refusesCondition(body, response))
            return;
        ++m_version;
        for (const json::value& row : body.at("writes").as_array()) {
            std::string value;
            absl::Base64Unescape(std::string(row.at("value").as_string()), &value);
            m_tables[std::string(row.at("table").as_string())][std::string(row.at("key").as_string())] = { value, false, m_version };
            m_history.push_back({ std::string(row.at("table").as_string()), std::string(row.at("key").as_string()), value });
        }
        for (const json::value& row : body.at("delete").as_array())
            m_tables[std::string(row.at("table").as_string())][std::string(row.at("key").as_string())] = { "", true, m_version };
        m_changed.notify_all();
        if (isConditional && m_isLosingAnswers && blocked(lock, true))
            return;
        answerJson(response, json::object { { "objVer", m_version }, { "serverTimeMs", 1 } });
    }

    httplib::Server m_server;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Tables m_tables;
    std::uint64_t m_version { 1 };
    std::uint64_t m_era { 1 };
    std::uint64_t m_oldestVersion { 0 };
    int m_failStatus { 0 };
    bool m_isSilent { false };
    bool m_isLosingCalls { false };
    bool m_isLosingAnswers { false };
    std::vector<WrittenRow> m_history;
    int m_refusedWrites { 0 };
    int m_calls { 0 };
    int m_wholeReads { 0 };
    bool m_isStopping { false };
    int m_port { 0 };
};
} // namespace limpetpond::fakes
