"""What the processes of a fleet know of each other and of the zones.

- ``evacuations``: the availability zones whose servers must get no requests.
"""
