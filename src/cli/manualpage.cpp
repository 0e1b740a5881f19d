#include "cli/manualpage.h"

#include "cli/commands.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

// Text of each command's manual page below its one-line description.
const std::map<std::string, std::string> &details()
{
    static const std::map<std::string, std::string> texts = {
        {"apply",
            "The file is checked together with all files in force and accepted or\n"
            "refused as a whole. Its base name is its name in the configuration; applying\n"
            "another content under that name replaces it.\n"
            "\n"
            "When the platform's answer is lost the command ends with 5 and names the\n"
            "apply id. Repeat the command with --apply-id=ID: it settles the first run and\n"
            "takes effect at most once. An id begins with the revision in force when it was\n"
            "made, such as 83-deploy; a repeat that comes too many changes later is refused.\n"
            "\n"
            "With --wait the progress goes to standard error. \"Accepted, but in force on n\n"
            "of m nodes\" (4) doesn't take the acceptance back.\n"},
        {"burn", "All nodes are asked; those that don't answer are named.\n"},
        {"check", "The same check as for apply, with the files in force on the node that is asked.\n"},
        {"customers",
            "One line for each customer of the configuration in force on the node that is\n"
            "asked, with its limit in calls a second (none: no limit), its burst, its priority\n"
            "(route: that of each route) and its number of API keys; and, over all nodes and\n"
            "since their start, its calls that were used (ran, or may have run), rejected for\n"
            "its limit, and unauthorized (the key was revoked while the call waited). Calls\n"
            "whose key is missing or unknown belong to no customer and are counted together.\n"
            "\n"
            "Nodes that don't answer within two seconds are missing in the counts. The last\n"
            "line says how many answered, and how old the oldest answer is.\n"},
        {"diff",
            "With a FILE: what would change if it were applied, compared with the file of\n"
            "that name in force, or in the revision that --revision names. Without: all files\n"
            "that differ between the revisions A and B, or between A and what is in force.\n"
            "Lines begin with '-' if they are only in the former, with '+' if only in the\n"
            "latter. The last 64 changes can be compared.\n"
            "\n"
            "A customer's API key is printed as <key FINGERPRINT>; a changed key shows as\n"
            "another fingerprint.\n"},
        {"explain",
            "Reads log files of nodes, or standard input if none is given, and prints the\n"
            "lines about the call of that id and the calls that targets made for it, in the\n"
            "order of time. Asks no node. Lines that can't be read are counted.\n"},
        {"history", "The last 64 changes, oldest first.\n"},
        {"outcome",
            "Looks among the last 64 changes. \"Not among them\" (6) doesn't prove that the\n"
            "apply will not take effect, for its write may still be on its way; repeating\n"
            "the apply with --apply-id=ID settles that.\n"},
        {"remove", "Refused while a route in another file names a service of the file.\n"},
        {"show",
            "With a NAME, prints that file alone, so that it can be edited and applied again.\n"
            "\n"
            "A customer's API key is printed as <key FINGERPRINT>. A file with such a text is\n"
            "refused; write the key itself before the file is applied.\n"},
        {"status", "Nodes that don't answer within two seconds are listed with \"no answer\".\n"},
    };
    return texts;
}

std::string optionLine(const OptionHelp &option)
{
    const auto value = option.argument.empty() ? std::string() : "=" + option.argument;
    const auto name = option.shortName == 0 ? fmt::format("    --{}{}", option.name, value) : fmt::format("-{}, --{}{}", option.shortName, option.name, value);
    return fmt::format("    {:<27} {}\n", name, option.text);
}

const std::string ExitCodes = "    0  done\n"
                              "    1  refused; the message says what to mend\n"
                              "    2  wrong use of the command line\n"
                              "    3  conflict with another operator's change\n"
                              "    4  not accepted, or no answer; try again later\n"
                              "    5  outcome unknown; repeat with the same --apply-id\n"
                              "    6  no such file, revision or apply\n"
                              "    7  stored or received data is damaged\n";

}

Result<std::string> manualPage(const std::string &command, const std::vector<OptionHelp> &options)
{
    const auto found = commands().find(command);
    if (found == commands().end()) {
        return failure(ErrorKind::Invalid, command + ": no such command");
    }
    std::string list;
    for (const auto &option : options) {
        const auto &acceptedOptions = found->second.options;
        if (option.general || std::find(acceptedOptions.begin(), acceptedOptions.end(), option.name) != acceptedOptions.end()) {
            list += optionLine(option);
        }
    }
    return fmt::format(
        "# galenahillctl {}\n\n## Synopsis\n\n    galenahillctl {} [OPTIONS]\n\n## Description\n\n{}.\n\n{}\n## Options\n\n{}\n## Exit codes\n\n{}",
        command,
        found->second.synopsis,
        found->second.description,
        details().at(command),
        list,
        ExitCodes);
}

}
