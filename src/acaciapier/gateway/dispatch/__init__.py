"""Admission, stage queues and worker slots.

Each service has one dispatcher at a time: the instance that schedules its work for all
instances.
"""
