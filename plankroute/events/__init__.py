"""What the decision module is told (facts, notes) and what it may order (orders).

Plain data only: nothing here decides anything or knows of any wire.
"""
