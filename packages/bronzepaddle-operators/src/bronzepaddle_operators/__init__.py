"""The operators' command line.

``cli`` is the ``bronzepaddle`` command; it speaks to control ports of
processes, and to the platform's store where an order must last.
"""
