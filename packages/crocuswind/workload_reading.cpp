#include "workload_reading.h"

#include "command.h"

#include <algorithm>
#include <filesystem>
#include <map>

namespace crocuswind {

namespace {

std::vector<std::string> expandFolders(const std::vector<std::string> &paths, findings &found)
{
    namespace fs = std::filesystem;
    std::vector<std::string> files;
    for (const std::string &path : paths) {
        std::error_code error;
        if (!fs::is_directory(path, error)) {
            files.push_back(path);
            continue;
        }
        const std::size_t before = files.size();
        for (fs::directory_iterator i(path, error), end; !error && i != end; i.increment(error)) {
            if (i->path().extension() == ".toml")
                files.push_back(i->path().string());
        }
        if (error)
            found.push_back({source_place{path}, "cannot read the folder: " + error.message()});
        else if (files.size() == before)
            found.push_back({source_place{path}, "the folder holds no *.toml file"});
        std::sort(files.begin() + std::ptrdiff_t(before), files.end());
    }
    return files;
}

} // namespace

checked_files readWorkloadFiles(const std::vector<std::string> &paths)
{
    findings found;
    const std::vector<std::string> files = expandFolders(paths, found);
    std::vector<workload_source> sources;
    checked_files checked;
    std::map<std::string, std::string> pathByName;
    for (const std::string &path : files) {
        const std::string name = std::filesystem::path(path).filename().string();
        const auto [first, isNew] = pathByName.emplace(name, path);
        // Published files are identified by name without directory, so that the copies of all
        // operators compare equal wherever they are stored.
        if (!isNew && first->second != path)
            found.push_back({source_place{path}, "has the same file name as " + first->second});
        try {
            sources.push_back({path, readFile(path, maxWorkloadFileBytes)});
            checked.files.push_back({name, sources.back().text});
        } catch (const command_error &error) {
            found.push_back({source_place{"workload files"}, error.what()});
        }
    }
    if (found.empty()) {
        auto set = parseWorkloadFiles(sources);
        if (set)
            checked.set = std::move(*set);
        else
            found = std::move(set.error());
    } else {
        // An unreadable file may declare what the others refer to, so references between files are
        // not checked; only errors within each file are reported.
        for (const workload_source &source : sources)
            (void)parseWorkloadFile(source, found);
    }
    if (!found.empty())
        throw command_error(exit_status::usage,
                            fmt::format("the files have {} mistake{}:\n{}", found.size(),
                                        found.size() == 1 ? "" : "s", toString(found)));
    std::sort(checked.files.begin(), checked.files.end(),
              [](const config_file &a, const config_file &b) { return a.name < b.name; });
    return checked;
}

} // namespace crocuswind
