"""Runs the mixed load of one deployment with a primary failure halfway."""

import argparse
import subprocess
import sys

from deployment import Deployment


def main():
    parser = argparse.ArgumentParser(prog="scripts/run")
    parser.add_argument("--users", choices=["registro", "hire-core"],
                        default="registro")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--no-failure", action="store_true")
    options = parser.parse_args()
    with Deployment(options.users, options.build) as deployment:
        service = deployment.services[0]
        primary = deployment.primary_of(service)
        fault = None if options.no_failure else '{"crash_ms":600000}'
        command = deployment.load_command(
            options.seconds, options.callers, options.seed, fault, service,
            primary)
        result = subprocess.run(command, check=False)
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
