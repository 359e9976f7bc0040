"""Example of a retrying caller that uses only the standard library."""

import http.client
import json
import sys
import time

ATTEMPTS = 5
TIMEOUT_S = 10.0
WAIT_S = 0.2


def fetch_list(address, account):
    """Returns the address list of an entry."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", f"/fleet/addresses?caller={account}")
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def send_once(address, method, path, body, headers):
    """Returns status, verdict and body of one attempt."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        content = answer.read()
        return answer.status, answer.getheader("Request-Verdict"), content
    except (OSError, http.client.HTTPException):
        return 0, "may-have-run", b""
    finally:
        connection.close()


def send(start_address, account, method, path, body):
    """Sends a request until it ran or the attempts are used up."""
    listed = fetch_list(start_address, account)
    next_key = 0
    attempt = 1
    for turn in range(ATTEMPTS):
        addresses = listed["addresses"]
        address = addresses[turn % len(addresses)]["address"]
        headers = {
            "Caller-Account": account,
            "Idempotency-Key": f"{listed['keys']['prefix']}-{next_key}",
            "Request-Attempt": str(attempt),
            "Content-Type": "application/json",
        }
        status, verdict, content = send_once(
            address, method, path, body, headers
        )
        if verdict == "ran":
            return status, verdict, content
        if verdict == "not-run":
            # A key can't be reused after not-run; retry with a new key.
            next_key += 1
            attempt = 1
        else:
            attempt += 1
        time.sleep(WAIT_S)
    return status, verdict, content


def main():
    """Sends the request given on the command line."""
    if len(sys.argv) != 5:
        print("usage: caller_example.py ADDRESS METHOD PATH BODY")
        return 2
    address, method, path, body = sys.argv[1:]
    status, verdict, content = send(
        address, "example", method, path, body.encode()
    )
    print(status, verdict, content.decode())
    return 0 if verdict == "ran" else 1


if __name__ == "__main__":
    sys.exit(main())
