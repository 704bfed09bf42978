"""Towards the one backend server beside this process.

``announcements`` is what a backend server says of itself, ``dispatch`` sends
it requests, ``commands`` gives it grants, drain and cancel orders.
"""
