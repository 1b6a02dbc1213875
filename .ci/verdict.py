"""Reads the reports of Surefire and Failsafe and gives the verdict of a run.

Exits with 1 when no test ran or when a failed test is not listed in KNOWN-RED.txt.
"""

import glob
import sys
import xml.etree.ElementTree as ElementTree


def known_red():
    with open("KNOWN-RED.txt", encoding="utf-8") as lines:
        rows = [line.strip() for line in lines]
    return {row.split("|")[0].strip() for row in rows if row and not row.startswith("#")}


def cases():
    for report in sorted(glob.glob("*/target/*-reports/TEST-*.xml")):
        for case in ElementTree.parse(report).getroot().iter("testcase"):
            yield case


def name_of(case):
    return case.get("classname") + "#" + case.get("name")


def main():
    known = known_red()
    passed, skipped, failed = 0, 0, []
    for case in cases():
        if case.find("failure") is not None or case.find("error") is not None:
            failed.append(name_of(case))
        elif case.find("skipped") is not None:
            skipped += 1
        else:
            passed += 1
    unknown = [name for name in failed if name not in known]
    for name in failed:
        print(("known red: " if name in known else "FAILED: ") + name)
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    if unknown or passed == 0:
        sys.exit(1)


main()
