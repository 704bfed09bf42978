"""Communication with the one backend server on the VM of this process.

Without cells: ``server_tracker`` tracks the announcements of the server,
``connections`` sends it requests and commands, and ``key_grants`` is the
interface through which keys are granted to it.

In a cell: ``announcements`` defines the announcements of the server,
``dispatch`` sends it requests and ``commands`` grants, drain and cancel
commands.
"""
