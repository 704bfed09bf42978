"""The command line interface for operators.

``cli`` is the ``bronzepaddle`` command, which calls the control ports of
processes; ``log_history`` reconstructs the history of requests and keys from
log lines.
"""
