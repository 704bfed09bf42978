"""Communication with the one backend server beside this process.

Without cells: ``servers`` tracks the announcements of the server,
``connections`` sends it requests and commands, and ``granting`` is the
interface through which keys are granted to it.

In a cell: ``announcements`` defines the announcements of the server,
``dispatch`` sends it requests and ``orders`` grants, drain and cancel
commands.
"""
