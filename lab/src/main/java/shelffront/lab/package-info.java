/** The commands of the lab; {@link shelffront.lab.LabMain} is the entry point. */
package shelffront.lab;
